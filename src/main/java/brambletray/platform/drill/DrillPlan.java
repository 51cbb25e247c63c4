package brambletray.platform.drill;

/**
 * Which courses a drill plays.
 *
 * @param members   core machines of each course, from {@value #MEMBERS_LEAST} to {@value #MEMBERS_MOST}
 * @param firstSeed the first course's seed; the next course has the next seed
 * @param courses   how many courses
 * @param threads   courses that run at the same time, one on each thread
 * @param template  MEMBERS/LOSSES/END-MS/TROUBLES that each seed plays, or null: troubles are drawn from the seed
 * @param shrink    whether a broken course is shrunk to its shortest script
 */
public record DrillPlan(int members, long firstSeed, int courses, int threads, String template, boolean shrink) {
    static final int MEMBERS_LEAST = 3;
    static final int MEMBERS_MOST = 9;
    private static final int COURSES_MOST = 10_000_000;
    private static final int THREADS_MOST = 64;

    /** {@link InvalidDrillException} where a figure is out of its range, or the template cannot be read. */
    public DrillPlan {
        check("members", members, MEMBERS_LEAST, MEMBERS_MOST);
        check("courses", courses, 1, COURSES_MOST);
        check("threads", threads, 1, THREADS_MOST);
        if (firstSeed < 0 || firstSeed > Long.MAX_VALUE - courses) {
            throw new InvalidDrillException("--seed: expected a number from 0, found " + firstSeed);
        }
        if (template != null) {
            ScenarioScript.parse(firstSeed + "/" + template);
        }
    }

    /** The course of this seed. */
    ScenarioScript script(long seed) {
        return template == null ? ScenarioScript.draw(seed, members) : ScenarioScript.parse(seed + "/" + template);
    }

    static void check(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new InvalidDrillException(
                    "--" + option + ": expected a number from " + least + " to " + most + ", found " + value);
        }
    }
}
