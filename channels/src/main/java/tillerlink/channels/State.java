package tillerlink.channels;

import java.util.List;

/**
 * Positions and counters of the logs at this gateway.
 *
 * @param incarnation this process
 * @param applied the slot up to which all cuts are applied
 * @param decided the last slot whose cut is known
 * @param compacted the slot up to which the logs are compacted
 * @param provisional events that are not in a decided cut yet
 * @param stable events that are, compacted ones included
 * @param bytes about what the events take in memory
 * @param voters the gateways that decide on the next slot
 * @param votes whether this gateway votes
 * @param leads whether it leads, so that it needs no phase 1
 * @param refusedAhead events refused because their stamps were too far ahead of the time
 * @param malformed messages that could not be read
 * @param askedAgain requests for events that timed out
 * @param keepFailures changes that could not be stored
 * @param ownTakenBack events of this gateway's earlier processes that came back from others
 * @param twoContents events that differed from the one held under the same name
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
