package brambletray.platform.failuredetection;

/**
 * From an edge to the core, first on each link, and again when its own state changes or a roster does not list it as
 * it is: who it is, the newest roster it has (0, 0: none), the configuration's revision it serves by, and the highest
 * term of any coordinator that has spoken to this process: a coordinator of a lower term has been succeeded.
 */
public record EdgeHello(Peer self, long rosterTerm, long rosterNumber, long revision, long term) {}
