/**
 * A laptop's stand-in for all that is outside the system: the platform, hosts, clients and an operator, on loopback
 * addresses, with the system's programs as processes of their own. For trying out and for showing what happens; nothing
 * in production leans on it.
 */
package brambletray.platform.localsystem;
