package brambletray.relay.emulator;

/** Sees what happens to messages, as the partners, the agents and the clients see it. */
@FunctionalInterface
public interface Witness {
    Witness NOBODY = (at, of, what) -> {};

    /** {@code at}: ns; {@code of}: a message's id, an endpoint or a relay; {@code what}: in plain words. */
    void saw(long at, String of, String what);
}
