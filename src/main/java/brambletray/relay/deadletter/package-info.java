/**
 * Messages that ended undelivered and are kept: what became of each, whether it may be sent again, and by
 * which rule it is. Pure: times, messages and outcomes come in, stages and decisions go out. docs/kept.md.
 */
package brambletray.relay.deadletter;
