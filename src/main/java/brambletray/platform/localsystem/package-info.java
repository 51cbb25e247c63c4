/**
 * A whole system on one machine: stand-ins of the platform, of instances, clients and an operator on loopback
 * addresses, with the system's programs as child processes. For trying out; not used in production.
 */
package brambletray.platform.localsystem;
