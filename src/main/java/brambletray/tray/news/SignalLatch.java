package brambletray.tray.news;

import java.util.concurrent.locks.ReentrantLock;

/** One kind of signal, between the system's thread on which it arrives and the handler, which may be set later. Any thread may call. */
final class SignalLatch {
    private final ReentrantLock lock;
    private Runnable handler;
    private boolean early;

    SignalLatch() {
        this(new ReentrantLock());
    }

    SignalLatch(ReentrantLock lock) {
        this.lock = lock;
    }

    /** A signal has come; it is handled now, or by the first handler. */
    void arrived() {
        Runnable now;
        lock.lock();
        try {
            now = handler;
            early |= now == null;
        } finally {
            lock.unlock();
        }
        if (now != null) {
            now.run();
        }
    }

    /** Sets what signals are handled by from now on; signals that came before the first handler count as one. */
    void handler(Runnable then) {
        boolean missed;
        lock.lock();
        try {
            handler = then;
            missed = early;
            early = false;
        } finally {
            lock.unlock();
        }
        if (missed) {
            then.run();
        }
    }
}
