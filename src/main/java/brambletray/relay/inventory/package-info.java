/**
 * The list of partners' hosts kept in a file: formats, checks, what changes from one revision to the next,
 * and following edits. Parsers make revisions, {@link brambletray.relay.inventory.Reconciler} decides, free of I/O,
 * and {@link brambletray.relay.inventory.Follower} reads.
 */
package brambletray.relay.inventory;
