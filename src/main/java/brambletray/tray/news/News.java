package brambletray.tray.news;

import java.util.List;

/** A whole configuration, as acknowledged, from the helm of this term; an edge that has heard of a higher term does not take it. */
public record News(long term, long revision, byte[] json) {
    /** Frames of this plane. */
    public static final List<Class<?>> FRAMES = List.of(Iam.class, Pulse.class, News.class);
}
