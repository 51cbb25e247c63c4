package brambletray.tray.news;

import brambletray.tray.home.Home;
import brambletray.tray.ring.Ring;
import brambletray.tray.view.Members;
import brambletray.tray.vow.Vow;
import brambletray.tray.yard.Yard;
import java.util.List;

/** All that processes of the system say to one another, in the order in which Kryo registers it. */
public final class Lexis {
    private static final List<Class<?>> NEWS =
            List.of(Iam.class, Pulse.class, Fetch.class, Chunk.class, RosterFetch.class);

    public static final List<List<Class<?>>> ALL =
            List.of(NEWS, Ring.FRAMES, Home.FRAMES, Yard.FRAMES, Members.FRAMES, Vow.FRAMES);

    private Lexis() {}
}
