package brambletray.platform.failuredetection;

/**
 * From an edge to the core: first on each link, and again when the edge's own state changes or a roster lists it with
 * an outdated state. Contains the edge itself, the newest roster it has (0, 0 for none), the revision of the
 * configuration it uses, and the highest coordinator term it has seen. A coordinator with a lower term has been
 * superseded.
 */
public record EdgeHello(Peer self, long rosterTerm, long rosterNumber, long revision, long term) {}
