package brambletray.platform.quota;

/** One process of an edge: a restarted edge bears the same name, and holds nothing of what its former process held. */
public record EdgeIncarnation(String name, long incarnation) {}
