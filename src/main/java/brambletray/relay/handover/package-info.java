/**
 * Two processes of one relay during a replacement: who owns the folder, what is handed on, and how the one
 * that does not own it serves through the other (docs/handover.md).
 */
package brambletray.relay.handover;
