package brambletray.platform.quota;

/** One process of an edge. A restarted edge keeps its name but holds no rights of its previous process. */
public record EdgeIncarnation(String name, long incarnation) {}
