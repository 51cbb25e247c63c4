package brambletray.core;

import brambletray.message.Message;
import java.util.function.Consumer;

/** A way out: carries calls to hosts over one protocol. One thread, that of the loop. */
public interface Calls {
    /** A call that is out. */
    interface Call {
        /** Stops waiting; its reply comes at once, as cancelled, unless it has come. */
        void cancel();
    }

    /** Begins a call, which ends within {@code patience} microseconds; its reply comes exactly once. */
    Call call(Host host, Message message, long patience, Consumer<Reply> whenEnded);

    /** Takes back the calls to a host of which no byte has gone out: each ends as not sent. */
    void takeBack(Host host);

    /** Closes the connections to a host that carry no call; one with an answer coming in, after that. */
    void closeIdle(Host host);

    /** Drops what is held of a host that is gone; false while a connection to it is open or coming up. */
    boolean forget(Host host);
}
