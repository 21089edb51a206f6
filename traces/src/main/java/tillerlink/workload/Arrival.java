package tillerlink.workload;

/**
 * The arrival of a request in a replay. Times are tenths of a millisecond.
 *
 * @param at the time since the start of the replay
 * @param number the number of the task in the trace
 * @param requestClass the index of the request class
 * @param work the time that the request takes on one core
 * @param memory the memory that the request needs, in megabytes
 * @param tableGroup the index of the group of tables that the request's statement refers to
 * @param key the idempotency key, which is also the seed of the random values of the request
 */
public record Arrival(
    long at, long number, int requestClass, double work, double memory, int tableGroup, long key) {}
