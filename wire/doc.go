// Package wire groups the packages that define the protocols of the fleet: peerpb
// (between daemons), engineapi (of model engines), platformapi (of the platform) and
// operatorapi (between operators and a daemon). Package tcpend finds out how a connection
// has ended.
package wire
