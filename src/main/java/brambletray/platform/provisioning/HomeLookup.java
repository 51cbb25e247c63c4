package brambletray.platform.provisioning;

/** Finds the edge that is the home of a service in a zone. */
@FunctionalInterface
public interface HomeLookup {
    /** The edge's name; null while there is none. */
    String edgeFor(String service, String zone);
}
