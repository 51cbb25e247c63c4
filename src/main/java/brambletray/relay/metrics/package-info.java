/** What a relay counts of itself, from 0 at each start: messages by class and end, calls written. Pure. */
package brambletray.relay.metrics;
