/**
 * Nested quotas with borrowing: who may hand in how much. {@link brambletray.relay.quota.Quotas} decides and is
 * free of I/O and of clocks, like the decision module beside it, which goes on deciding where and when to
 * send.
 */
package brambletray.relay.quota;
