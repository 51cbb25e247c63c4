/** The command line of the relay: subcommands, their options and exit codes. */
package brambletray.relay.cli;
