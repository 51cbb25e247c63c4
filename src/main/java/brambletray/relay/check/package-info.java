/** What a script announces beside what is measured when it is played. */
package brambletray.relay.check;
