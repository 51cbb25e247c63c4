package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The whole system as processes, with clients that disconnect early. */
class DepartedClientsSystemTest {
    private static final int SECONDS = 12;
    private static final int RATE = 25;
    private static final int WORK_MS = 1_500;
    private static final int LEAVE_PERCENT = 40;

    @Test
    void workEndsWithItsClientAlsoWhileCoreMembersAreKilled() {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        LocalRunPlan plan = new LocalRunPlan(
                3,
                3,
                SECONDS,
                new LocalRunPlan.Load(RATE, WORK_MS, LEAVE_PERCENT),
                List.of(
                        new LocalRunPlan.Kill(LocalRunPlan.COORDINATOR, 4),
                        new LocalRunPlan.Kill(LocalRunPlan.COORDINATOR, 8)),
                null);
        int exitCode = LocalSystem.run(plan, new PrintStream(printed, true, StandardCharsets.UTF_8));
        assertEquals(0, exitCode, printed.toString(StandardCharsets.UTF_8));
    }
}
