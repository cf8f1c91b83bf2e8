// Package wire groups the packages that define the protocols of the fleet: peerpb
// (between daemons), engineapi (of model engines), platformapi (of the platform) and
// operatorapi (between operators and a daemon). Packages httpvalid and tcpend check
// what is received: the form of HTTP responses, and how a connection has ended.
package wire
