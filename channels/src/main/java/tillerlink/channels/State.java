package tillerlink.channels;

import java.util.List;

/** How the logs stand at this gateway, for its own log and for whoever asks. */
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
