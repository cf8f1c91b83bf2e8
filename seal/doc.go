// Package seal groups the packages for encrypted, authenticated tokens that
// callers store and send back to the fleet: keyring holds the keys and the
// encryption, ticket and chat define the two kinds of tokens.
package seal
