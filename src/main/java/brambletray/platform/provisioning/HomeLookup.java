package brambletray.platform.provisioning;

/** Which edge is home of a seat now. */
@FunctionalInterface
public interface HomeLookup {
    /** The edge's name; null while there is none. */
    String edgeFor(String service, String seat);
}
