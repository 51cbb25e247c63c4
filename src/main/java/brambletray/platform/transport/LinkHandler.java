package brambletray.platform.transport;

/** The owner of links; called on the loop only. What it throws closes the link, so that both ends begin anew. */
public interface LinkHandler {
    /** The other end speaks as we do: frames may be said from now on. Once a link, before anything else. */
    void onLinkUp(Link link);

    /** A frame has come, in the order in which it was said. */
    void onFrame(Link link, Object frame);

    /** The link is no more, whoever ended it; once a link that had been up. What was said last may not have arrived. */
    void onLinkDown(Link link, String reason);
}
