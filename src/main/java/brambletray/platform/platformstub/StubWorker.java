package brambletray.platform.platformstub;

import java.util.TreeMap;

/** One worker of the stand-in, and what it was when. */
final class StubWorker {
    enum State {
        OPERATIONAL,
        DRAINING,
        DOWN
    }

    final String name;
    final String zone;
    final int memoryMb;
    private final TreeMap<Long, State> states = new TreeMap<>();

    StubWorker(String name, String zone, int memoryMb, long now) {
        this.name = name;
        this.zone = zone;
        this.memoryMb = memoryMb;
        states.put(now, State.OPERATIONAL);
    }

    void changeState(State state, long at) {
        states.tailMap(at, true).clear();
        states.put(at, state);
    }

    /** Before its first moment it is as it was then. */
    State state(long at) {
        var entry = states.floorEntry(at);
        return (entry == null ? states.firstEntry() : entry).getValue();
    }

    /** Down for so long, then back. */
    void crash(long at, long ms) {
        changeState(State.DOWN, at);
        states.put(at + ms, State.OPERATIONAL);
    }
}
