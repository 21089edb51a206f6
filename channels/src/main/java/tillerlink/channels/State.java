package tillerlink.channels;

import java.util.List;

/**
 * The positions and counters of the logs at this gateway. Counters start at 0 with the process.
 *
 * @param incarnation the incarnation of this process
 * @param applied the slot up to which all cuts are applied
 * @param decided the last slot whose cut is known
 * @param compacted the slot up to which the logs are compacted
 * @param provisional the number of provisional events, which are not in an applied cut yet
 * @param stable the number of stable events, compacted ones included
 * @param bytes the approximate size of the events in memory, in bytes
 * @param voters the gateways that decide on the next slot
 * @param votes whether this gateway's acceptor votes
 * @param leads whether a majority has promised this gateway's ballot, so that it needs no phase 1
 * @param refusedAhead the number of refusals of events whose stamps were too far ahead of the
 *     fleet's time
 * @param malformed the number of malformed messages received
 * @param askedAgain the number of requests for events that timed out
 * @param keepFailures the number of changes that could not be stored
 * @param ownTakenBack the number of events of this gateway's earlier processes that were recovered
 *     from other gateways
 * @param twoContents the number of events received that differ from the one held under the same
 *     name
 */
public record State(
    long incarnation,
    long applied,
    long decided,
    long compacted,
    long provisional,
    long stable,
    long bytes,
    List<String> voters,
    boolean votes,
    boolean leads,
    long refusedAhead,
    long malformed,
    long askedAgain,
    long keepFailures,
    long ownTakenBack,
    long twoContents) {}
