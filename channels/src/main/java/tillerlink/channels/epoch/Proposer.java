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
 * The state of one gateway's proposals for the next slot. In phase 1 a majority of the voters
 * promises a ballot, in phase 2 a majority accepts a cut in that ballot. If acceptors that promised
 * have already accepted a cut for the slot, the one accepted in the highest ballot must be
 * proposed. A promised ballot is used for further slots while the voters stay the same. This class
 * sends nothing itself. Times are tenths of a millisecond.
 */
public final class Proposer {
  /** The time between two requests to an acceptor that does not respond. */
  private static final long RETRY_INTERVAL = 3000;

  /** The time after which a phase of a proposal that has no majority is abandoned. */
  private static final long PROPOSAL_TIMEOUT = 20_000;

  /** The least time after an abandoned proposal during which nothing is proposed. */
  private static final long MIN_BACKOFF = 3000;

  /** The upper limit of the random time that is added to the least back-off. */
  private static final int BACKOFF_JITTER = 10_000;

  /** The phase of a proposal. */
  public enum Stage {
    /** No proposal is in progress. */
    IDLE,
    /** Phase 1: collecting promises. */
    PREPARING,
    /** Phase 2: collecting acceptances. */
    ACCEPTING
  }

  private final String proposerName;
  private final RandomGenerator random;
  private final TreeMap<String, Promise> promises = new TreeMap<>();

  /** The incarnations of the acceptors that accepted the cut, by gateway. */
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
   * Creates the proposer of a process. The incarnation is part of each ballot, so that no ballot is
   * used twice, not even after a restart with a lost disk.
   *
   * @param self this gateway's name
   * @param incarnation the incarnation of this process
   * @param random the source of the random part of back-off times
   */
  public Proposer(String self, long incarnation, RandomGenerator random) {
    proposerName = self + "/" + Long.toHexString(incarnation);
    this.random = random;
  }

  /** Returns the gateway that a ballot belongs to; empty for {@link Ballot#NONE}. */
  public static String gateway(Ballot ballot) {
    int end = ballot.proposer().lastIndexOf('/');
    return end < 0 ? "" : ballot.proposer().substring(0, end);
  }

  // ---- state ----

  /** Returns the phase of the proposal. */
  public Stage stage() {
    return stage;
  }

  /** Returns the latest ballot of this gateway; {@link Ballot#NONE} before the first proposal. */
  public Ballot ballot() {
    return ballot;
  }

  /** Returns the slot of the latest proposal. */
  public long slot() {
    return slot;
  }

  /** Returns the cut of the latest phase 2; null before the first. */
  public Cut cut() {
    return cut;
  }

  /** Returns the time before which nothing may be proposed. */
  public long backoffUntil() {
    return backoffUntil;
  }

  /**
   * Returns whether a majority of these voters has promised this gateway's ballot, and no higher
   * ballot was seen.
   */
  public boolean leads(List<String> voters) {
    return isPromised && promisedBy.equals(voters);
  }

  /** Returns whether a voter has responded in the current phase. */
  public boolean hasAnswered(String voter) {
    return stage == Stage.PREPARING ? promises.containsKey(voter) : acceptances.containsKey(voter);
  }

  // ---- proposals ----

  /**
   * Starts phase 1 with a new ballot.
   *
   * @param now the time in tenths of a millisecond
   * @param forSlot the slot to decide
   * @param promised the highest ballot that this gateway's own acceptor promised
   */
  public void prepare(long now, long forSlot, Ballot promised) {
    highestRound = Math.max(highestRound, promised.round());
    ballot = new Ballot(highestRound + 1, proposerName);
    highestRound++;
    slot = forSlot;
    isPromised = false;
    promises.clear();
    beginPhase(now, Stage.PREPARING);
  }

  /** Starts phase 2 with a cut. */
  public void accept(long now, Cut proposed) {
    cut = proposed;
    slot = proposed.slot();
    acceptances.clear();
    beginPhase(now, Stage.ACCEPTING);
  }

  private void beginPhase(long now, Stage phase) {
    stage = phase;
    startedAt = now;
    sentAt = now - RETRY_INTERVAL;
  }

  /** Abandons the proposal; its ballot is not used again. */
  public void stop() {
    isPromised &= stage == Stage.IDLE;
    stage = Stage.IDLE;
  }

  /**
   * Ends the proposal because its slot is decided or there is nothing to propose. The ballot may be
   * used again.
   */
  public void finish() {
    stage = Stage.IDLE;
  }

  /**
   * Abandons the proposal and sets the time before which none is started. The ballot is abandoned
   * as well, because two different cuts must never be proposed in the same ballot.
   */
  private void backOff(long now) {
    stop();
    backoffUntil = now + MIN_BACKOFF + random.nextInt(BACKOFF_JITTER);
  }

  /**
   * Returns whether the request must be sent, again or for the first time, to the voters that have
   * not responded; if so, records it as sent. Abandons a proposal that takes too long.
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

  /**
   * Returns the time at which the request is to be sent again; {@link Long#MAX_VALUE} if no
   * proposal is in progress.
   */
  public long dueAt() {
    return stage == Stage.IDLE ? Long.MAX_VALUE : sentAt + RETRY_INTERVAL;
  }

  // ---- messages from acceptors and other proposers ----

  /**
   * Handles a ballot seen in a message. A higher one of another proposer ends the lead of this one,
   * and the proposal in progress.
   */
  public void onBallot(long now, Ballot other) {
    highestRound = Math.max(highestRound, other.round());
    if (other.compareTo(ballot) > 0 && !other.proposer().equals(proposerName)) {
      isPromised = false;
      if (stage != Stage.IDLE) {
        backOff(now);
      }
    }
  }

  /** Handles an acceptor's response to phase 1. */
  public void onPromise(long now, String from, Promise promise) {
    if (stage == Stage.PREPARING && promise.ballot().equals(ballot) && promise.slot() == slot) {
      if (promise.promised().equals(ballot)) {
        promises.put(from, promise);
      } else {
        onBallot(now, promise.promised());
      }
    }
  }

  /** Handles an acceptor's response to phase 2. */
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
   * Discards the responses of processes that are known to have been succeeded by newer processes of
   * the same gateways.
   *
   * @param lives the newest incarnations that another gateway knows
   */
  public void onLives(List<Life> lives) {
    for (Life life : lives) {
      Promise promise = promises.get(life.gateway());
      if (promise != null && promise.incarnation() < life.incarnation()) {
        promises.remove(life.gateway());
        isPromised = false;
      }
      acceptances.computeIfPresent(
          life.gateway(), (ignored, accepted) -> accepted < life.incarnation() ? null : accepted);
    }
  }

  // ---- majorities ----

  private static boolean isMajority(Map<String, ?> responses, List<String> voters) {
    return voters.stream().filter(responses::containsKey).count() > voters.size() / 2;
  }

  /**
   * Returns whether phase 2 may start because a majority of these voters has promised the ballot.
   * If so, this gateway leads from then on.
   */
  public boolean mayAccept(List<String> voters) {
    if (stage != Stage.PREPARING || !isMajority(promises, voters)) {
      return false;
    }
    isPromised = true;
    promisedBy = List.copyOf(voters);
    return true;
  }

  /**
   * Returns the cut that must be proposed in phase 2: the one that the voters have accepted in the
   * highest ballot. Null if any cut may be proposed.
   */
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

  /**
   * Returns whether the cut is decided, which means that a majority of these voters accepted it.
   */
  public boolean isDecided(List<String> voters) {
    return stage == Stage.ACCEPTING && isMajority(acceptances, voters);
  }
}
