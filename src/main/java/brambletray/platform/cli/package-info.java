/** The command line of the system, {@code system VERB ...}, and the start of its programs, which load none of it. */
package brambletray.platform.cli;
