package brambletray.relay.deadletter;

/**
 * Where a kept message stands. Each stage has only the steps that lead out of it, so that others cannot be
 * written. Times are Unix ms. A step counts once it has been made durable; what it allows is done after that.
 */
public sealed interface Stage {
    /** Who took a step: a rule by its name, or a person. */
    record By(boolean person, String name) {
        @Override
        public String toString() {
            return (person ? "" : "rule ") + name;
        }
    }

    /** How it was settled. */
    enum How {
        /** A partner has answered that it took effect. */
        DELIVERED,
        /** Nobody will send it again. */
        GIVEN_UP,
        /** A person has said that it is done already. */
        ACKNOWLEDGED,
        /** Its time to be kept was over, or there was no room. */
        DROPPED
    }

    /** Nobody is at it. */
    record Held(long since) implements Stage {
        public Claimed claim(By by, long now) {
            return new Claimed(by, now);
        }

        public Settled settle(How how, By by, long now) {
            return new Settled(how, by, now);
        }
    }

    /** Somebody has it, and nobody else can: its redrive goes out next, or not. */
    record Claimed(By by, long since) implements Stage {
        public Out out(long now, long deadline) {
            return new Out(by, now, deadline);
        }

        /** It was not sent after all. */
        public Held release(long now) {
            return new Held(now);
        }
    }

    /** Its redrive has been handed to the relay, or is just about to be. */
    record Out(By by, long since, long deadline) implements Stage {
        public Settled delivered(long now) {
            return new Settled(How.DELIVERED, by, now);
        }

        /** The redrive ended undelivered. */
        public Held failed(long now) {
            return new Held(now);
        }

        /** The relay never took it on: it was not sent. */
        public Held notTaken(long now) {
            return new Held(now);
        }
    }

    /** For good. */
    record Settled(How how, By by, long at) implements Stage {}
}
