/** Entry point: {@link brambletray.Main} starts a relay, the system's programs, or the command line. */
package brambletray;
