package brambletray.platform.failuredetection;

/**
 * Edge to core, first on each link, and again when its own state changes or a roster doesn't list it as it is: who it
 * is, the newest roster it has (0, 0: none), the configuration's revision it serves by, and the highest term under
 * which any helm has spoken to this process: a helm of a lower one has been succeeded.
 */
public record EdgeHello(Peer self, long rosterTerm, long rosterNumber, long revision, long term) {}
