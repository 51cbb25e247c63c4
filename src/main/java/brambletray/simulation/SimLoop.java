package brambletray.simulation;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.ManualIoEventLoop;
import io.netty.util.concurrent.Ticker;

/**
 * The event loop of one simulated machine. It runs only when the {@link Simulation} steps it, on the thread
 * that made it; its timers go by the simulated ticker.
 */
final class SimLoop extends ManualIoEventLoop {
    SimLoop(Ticker ticker) {
        super(null, Thread.currentThread(), executor -> new NoIo(), ticker);
    }

    /** When its next timer is due, on the ticker, ns; {@link Long#MAX_VALUE} for none. */
    long nextDeadline() {
        long deadline = nextScheduledTaskDeadlineNanos();
        return deadline < 0 ? Long.MAX_VALUE : deadline;
    }

    /** Simulated channels need no selector: what the network brings comes as tasks. */
    private static final class NoIo implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            return 0;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException("simulated channels register nothing");
        }

        @Override
        public void wakeup() {
            // One thread: nobody waits.
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return false;
        }
    }
}
