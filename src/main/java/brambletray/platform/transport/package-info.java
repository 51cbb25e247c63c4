/**
 * Frames between our processes: records, by Kryo, over TCP; what is said in one turn of the loop leaves in one piece.
 */
package brambletray.platform.transport;
