package tillerlink.channels.epoch;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.ChannelsMessage.Accepted;
import tillerlink.messages.channels.ChannelsMessage.Life;
import tillerlink.messages.channels.ChannelsMessage.Promise;
import tillerlink.messages.channels.Cut;

/**
 * The state of one gateway's proposals for the next slot: a ballot that a majority of the voters
 * promises, then a cut that a majority accepts in it. If acceptors that promised have accepted a
 * cut for the slot before, the one of the highest ballot must be proposed. A promised ballot serves
 * for further slots while the voters stay the same. It sends nothing itself; times are tenths of a
 * millisecond.
 */
public final class Proposer {
  /** Between two requests to acceptors that have not responded. */
  private static final long RETRY_INTERVAL = 3000;

  /** A proposal that takes longer is abandoned. */
  private static final long PROPOSAL_TIMEOUT = 20_000;

  /** After an abandoned proposal nothing is proposed for this long, and a random part of more. */
  private static final long MIN_BACKOFF = 3000;

  private static final int BACKOFF_JITTER = 10_000;

  /** The phase of the proposal. */
  public enum Stage {
    /** Nothing is proposed. */
    IDLE,
    /** Phase 1: promises are collected. */
    PREPARING,
    /** Phase 2: acceptances are collected. */
    ACCEPTING
  }

  private final String name;
  private final RandomGenerator random;
  private final TreeMap<String, Promise> promises = new TreeMap<>();
  private final TreeMap<String, Long> acceptances = new TreeMap<>();
  private Stage stage = Stage.IDLE;
  private Ballot ballot = Ballot.NONE;
  private List<String> promisedBy = List.of();
  private boolean isPromised;
  private long highestRound;
  private long slot;
  private Cut cut;
  private long startedAt;
  private long sentAt;
  private long backoffUntil;

  /**
   * Makes the proposer of a process. The incarnation is part of each ballot, so that no ballot is
   * used twice, not even after a restart with a lost disk.
   */
  public Proposer(String self, long incarnation, RandomGenerator random) {
    name = self + "/" + Long.toHexString(incarnation);
    this.random = random;
  }

  /** Returns the gateway that uses a ballot; empty for {@link Ballot#NONE}. */
  public static String gateway(Ballot ballot) {
    int end = ballot.proposer().lastIndexOf('/');
    return end < 0 ? "" : ballot.proposer().substring(0, end);
  }

  // ---- state ----

  /** Returns the phase of the proposal. */
  public Stage stage() {
    return stage;
  }

  /** Returns the latest ballot. */
  public Ballot ballot() {
    return ballot;
  }

  /** Returns the slot of the latest proposal. */
  public long slot() {
    return slot;
  }

  /** Returns the cut that is to be accepted. */
  public Cut cut() {
    return cut;
  }

  /** Returns the time before which nothing is to be proposed. */
  public long backoffUntil() {
    return backoffUntil;
  }

  /**
   * Whether a majority of these voters has promised this gateway's ballot, and no higher one was
   * seen.
   */
  public boolean leads(List<String> voters) {
    return isPromised && promisedBy.equals(voters);
  }

  /** Whether a voter has responded in the current phase. */
  public boolean hasAnswered(String voter) {
    return stage == Stage.PREPARING ? promises.containsKey(voter) : acceptances.containsKey(voter);
  }

  // ---- proposals ----

  /**
   * Starts phase 1 with a new ballot.
   *
   * @param promised the highest ballot that this gateway's own acceptor promised
   */
  public void prepare(long now, long forSlot, Ballot promised) {
    highestRound = Math.max(highestRound, promised.round());
    ballot = new Ballot(highestRound + 1, name);
    highestRound++;
    slot = forSlot;
    isPromised = false;
    promises.clear();
    begin(now, Stage.PREPARING);
  }

  /** Starts phase 2 with a cut. */
  public void accept(long now, Cut proposed) {
    cut = proposed;
    slot = proposed.slot();
    acceptances.clear();
    begin(now, Stage.ACCEPTING);
  }

  private void begin(long now, Stage phase) {
    stage = phase;
    startedAt = now;
    sentAt = now - RETRY_INTERVAL;
  }

  /** Abandons the proposal; its ballot is not used again. */
  public void stop() {
    isPromised &= stage == Stage.IDLE;
    stage = Stage.IDLE;
  }

  /** Ends the proposal, as its slot is decided or nothing is to be proposed. */
  public void finish() {
    stage = Stage.IDLE;
  }

  /**
   * Abandons the proposal for a while. A second cut must never be proposed in a ballot in which one
   * was, so the ballot is abandoned too.
   */
  private void backOff(long now) {
    stop();
    backoffUntil = now + MIN_BACKOFF + random.nextInt(BACKOFF_JITTER);
  }

  /**
   * Whether to send the request (again) to those that have not responded; it then counts as sent.
   * Abandons a proposal that takes too long.
   */
  public boolean beginSendIfDue(long now) {
    if (stage != Stage.IDLE && now - startedAt > PROPOSAL_TIMEOUT) {
      backOff(now);
    }
    if (stage == Stage.IDLE || now - sentAt < RETRY_INTERVAL) {
      return false;
    }
    sentAt = now;
    return true;
  }

  /** Returns when the request is to be sent again. */
  public long dueAt() {
    return stage == Stage.IDLE ? Long.MAX_VALUE : sentAt + RETRY_INTERVAL;
  }

  // ---- what acceptors and other proposers sent ----

  /** Another ballot was seen; a higher one of another proposer ends this one's lead. */
  public void onBallot(long now, Ballot other) {
    highestRound = Math.max(highestRound, other.round());
    if (other.compareTo(ballot) > 0 && !other.proposer().equals(name)) {
      isPromised = false;
      if (stage != Stage.IDLE) {
        backOff(now);
      }
    }
  }

  /** Takes an acceptor's response to phase 1. */
  public void onPromise(long now, String from, Promise promise) {
    if (stage == Stage.PREPARING && promise.ballot().equals(ballot) && promise.slot() == slot) {
      if (promise.promised().equals(ballot)) {
        promises.put(from, promise);
      } else {
        onBallot(now, promise.promised());
      }
    }
  }

  /** Takes an acceptor's response to phase 2. */
  public void onAccepted(long now, String from, Accepted accepted) {
    if (stage == Stage.ACCEPTING && accepted.ballot().equals(ballot) && accepted.slot() == slot) {
      if (accepted.promised().equals(ballot)) {
        acceptances.put(from, accepted.incarnation());
      } else {
        onBallot(now, accepted.promised());
      }
    }
  }

  /**
   * Takes what a gateway knows of started processes: responses of earlier processes of the same
   * gateways do not count.
   */
  public void onLives(List<Life> lives) {
    for (Life life : lives) {
      Promise promise = promises.get(life.gateway());
      if (promise != null && promise.incarnation() < life.incarnation()) {
        promises.remove(life.gateway());
        isPromised = false;
      }
      acceptances.computeIfPresent(
          life.gateway(), (any, accepted) -> accepted < life.incarnation() ? null : accepted);
    }
  }

  // ---- majorities ----

  private static boolean isMajority(Map<String, ?> responses, List<String> voters) {
    return voters.stream().filter(responses::containsKey).count() > voters.size() / 2;
  }

  /** Whether phase 2 may start: a majority of these voters promised the ballot. */
  public boolean mayAccept(List<String> voters) {
    if (stage != Stage.PREPARING || !isMajority(promises, voters)) {
      return false;
    }
    isPromised = true;
    promisedBy = List.copyOf(voters);
    return true;
  }

  /** Returns the cut that must be proposed in phase 2; null if any may be. */
  public Cut boundCut(List<String> voters) {
    Promise highest = null;
    for (String voter : voters) {
      Promise promise = promises.get(voter);
      if (promise != null
          && promise.accepted() != null
          && promise.accepted().slot() == slot
          && (highest == null || promise.acceptedIn().compareTo(highest.acceptedIn()) > 0)) {
        highest = promise;
      }
    }
    return highest == null ? null : highest.accepted();
  }

  /** Whether the cut is decided: a majority of these voters accepted it. */
  public boolean isDecided(List<String> voters) {
    return stage == Stage.ACCEPTING && isMajority(acceptances, voters);
  }
}
