/**
 * The program of a core machine: it connects replication, election, provisioning and distribution to sockets and disk,
 * and serves the operators' calls.
 */
package brambletray.platform.controlplane;
