// Package seal groups the packages that seal what callers carry for the fleet:
// keyring (keys and sealed texts), ticket and chat.
package seal
