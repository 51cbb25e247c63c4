/**
 * What a process keeps on its disk: keys and values in Xodus, with a seal on each commit, so that what a loss of power
 * has torn is found and cut off; and a thread of its own that writes, so that a disk that hangs holds up nobody else.
 */
package brambletray.platform.storage;
