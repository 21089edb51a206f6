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
 * One gateway's tries to have the next step agreed on: a ballot that a majority of the voters
 * promises, then a step that a majority accepts in it. Of what a majority promised the step that
 * was accepted in the highest ballot must be taken. A ballot once promised goes on for further
 * steps while the voters stay the same.
 */
public final class Proposer {
  /** Asked again after so long. */
  private static final long AGAIN = 3000;

  /** Given up after so long. */
  private static final long GIVE_UP = 20_000;

  /** What a proposer is to do next. */
  public enum Stage {
    IDLE,
    PREPARING,
    ACCEPTING
  }

  private final String name;
  private final RandomGenerator random;
  private final TreeMap<String, Promise> promises = new TreeMap<>();
  private final TreeMap<String, Long> acks = new TreeMap<>();
  private Stage stage = Stage.IDLE;
  private Ballot ballot = Ballot.NONE;
  private List<String> promisedBy = List.of();
  private boolean isPromised;
  private long highestRound;
  private long slot;
  private Cut cut;
  private long startedAt;
  private long sentAt;
  private long restUntil;

  /**
   * The incarnation is part of each ballot, so that one started anew with a lost disk never uses
   * one a second time.
   */
  public Proposer(String self, long incarnation, RandomGenerator random) {
    name = self + "/" + Long.toHexString(incarnation);
    this.random = random;
  }

  public Stage stage() {
    return stage;
  }

  public Ballot ballot() {
    return ballot;
  }

  public long slot() {
    return slot;
  }

  /** The step that is to be accepted. */
  public Cut cut() {
    return cut;
  }

  /** It tries nothing before. */
  public long restUntil() {
    return restUntil;
  }

  /**
   * Whether a majority of these voters has promised this gateway's ballot, and it was not outbid.
   */
  public boolean leads(List<String> voters) {
    return isPromised && promisedBy.equals(voters);
  }

  /** Another ballot was seen. */
  public void saw(long now, Ballot other) {
    highestRound = Math.max(highestRound, other.round());
    if (other.compareTo(ballot) > 0 && !other.proposer().equals(name)) {
      isPromised = false;
      if (stage != Stage.IDLE) {
        rest(now);
      }
    }
  }

  /** The gateway whose ballot it is. */
  public static String gateway(Ballot ballot) {
    int end = ballot.proposer().lastIndexOf('/');
    return end < 0 ? "" : ballot.proposer().substring(0, end);
  }

  /**
   * Another step must never be tried in a ballot in which one was, so the ballot is given up with
   * the try.
   */
  private void rest(long now) {
    stop();
    restUntil = now + 3000 + random.nextInt(10_000);
  }

  /** Nothing that was begun goes on, as after this process was away. */
  public void stop() {
    isPromised &= stage == Stage.IDLE;
    stage = Stage.IDLE;
  }

  /** The step is known. */
  public void done() {
    stage = Stage.IDLE;
  }

  /**
   * @param promised what this gateway itself promised last
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

  private void begin(long now, Stage what) {
    stage = what;
    startedAt = now;
    sentAt = now - AGAIN;
  }

  public void accept(long now, Cut what) {
    cut = what;
    slot = what.slot();
    acks.clear();
    begin(now, Stage.ACCEPTING);
  }

  /** Whether to send (again) to those that have not answered; gives up after a while. */
  public boolean isSendDue(long now) {
    if (stage != Stage.IDLE && now - startedAt > GIVE_UP) {
      rest(now);
    }
    if (stage == Stage.IDLE || now - sentAt < AGAIN) {
      return false;
    }
    sentAt = now;
    return true;
  }

  public long dueAt() {
    return stage == Stage.IDLE ? Long.MAX_VALUE : sentAt + AGAIN;
  }

  public boolean hasAnswered(String voter) {
    return stage == Stage.PREPARING ? promises.containsKey(voter) : acks.containsKey(voter);
  }

  public void promised(long now, String from, Promise promise) {
    if (stage == Stage.PREPARING && promise.ballot().equals(ballot) && promise.slot() == slot) {
      if (promise.promised().equals(ballot)) {
        promises.put(from, promise);
      } else {
        saw(now, promise.promised());
      }
    }
  }

  public void accepted(long now, String from, Accepted accepted) {
    if (stage == Stage.ACCEPTING && accepted.ballot().equals(ballot) && accepted.slot() == slot) {
      if (accepted.promised().equals(ballot)) {
        acks.put(from, accepted.incarnation());
      } else {
        saw(now, accepted.promised());
      }
    }
  }

  /**
   * One said which processes it knows to have started: answers of earlier ones of the same gateway
   * do not count.
   */
  public void lives(List<Life> lives) {
    for (Life life : lives) {
      Promise promise = promises.get(life.gateway());
      if (promise != null && promise.incarnation() < life.incarnation()) {
        promises.remove(life.gateway());
        isPromised = false;
      }
      acks.computeIfPresent(life.gateway(), (any, was) -> was < life.incarnation() ? null : was);
    }
  }

  private static boolean isMajority(Map<String, ?> of, List<String> voters) {
    return voters.stream().filter(of::containsKey).count() > voters.size() / 2;
  }

  /** The ballot is promised by a majority. */
  public boolean mayAccept(List<String> voters) {
    if (stage != Stage.PREPARING || !isMajority(promises, voters)) {
      return false;
    }
    isPromised = true;
    promisedBy = List.copyOf(voters);
    return true;
  }

  /** The step that must be taken, null if any may be. */
  public Cut bound(List<String> voters) {
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

  public boolean isAgreed(List<String> voters) {
    return stage == Stage.ACCEPTING && isMajority(acks, voters);
  }
}
