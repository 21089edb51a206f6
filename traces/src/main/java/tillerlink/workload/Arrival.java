package tillerlink.workload;

/**
 * A request to be replayed. Times are tenths of a millisecond, from the start of the replay on.
 *
 * @param work on one core
 * @param memory megabytes
 * @param tableGroup the group of tables that its statement names
 * @param key decides what is drawn for it, and its mark against repeats
 */
public record Arrival(
    long at, long number, int requestClass, double work, double memory, int tableGroup, long key) {}
