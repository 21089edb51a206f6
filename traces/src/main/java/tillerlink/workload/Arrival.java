package tillerlink.workload;

/**
 * A request to replay. Times are tenths of a millisecond since the start of the replay.
 *
 * @param work time on one core
 * @param memory megabytes
 * @param tableGroup the group of tables that its statement names
 * @param key seeds what is drawn for it, and is its idempotency key
 */
public record Arrival(
    long at, long number, int requestClass, double work, double memory, int tableGroup, long key) {}
