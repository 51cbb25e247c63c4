/**
 * What a relay that starts may believe of its folder: a pure machine that is told what others have seen of it
 * and decides, before anything is owned, whether the folder is the newest that there was. It reads no clock
 * and does no I/O; docs/recovery.md has the rules.
 */
package brambletray.relay.recovery;
