package brambletray.tray.home;

import java.util.List;

/** The plane's frames, in the order in which Kryo registers them. */
public final class Home {
    public static final List<Class<?>> FRAMES = List.of(
            Ask.class, Grant.class, Refuse.class, Elsewhere.class, Done.class, Fate.class, Held.class, Forget.class);

    private Home() {}
}
