package tillerlink.channels.epoch;

import java.util.Map;
import java.util.TreeMap;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.EntryCodec;

/**
 * The promises and acceptances of a gateway's acceptor. The state must be persisted before a
 * response that depends on it is sent. The promised ballot never decreases: not by a restart and,
 * because {@link RejoinCheck} asks the other gateways first, not by a lost disk or an old copy of
 * it.
 */
public final class AcceptorState {
  private static final int PROMISED_ROUND = 1;
  private static final int PROMISED_PROPOSER = 2;
  private static final int ACCEPTED_ROUND = 3;
  private static final int ACCEPTED_PROPOSER = 4;
  private static final int ACCEPTED_CUT = 5;
  private static final int INCARNATION = 6;

  /** A field that is always written, so that the stored value is never empty. */
  private static final int PRESENT = 7;

  private static final int INCARNATION_GATEWAY = 1;
  private static final int INCARNATION_NUMBER = 2;

  private static final int MAX_NAME_BYTES = 255;

  private Ballot promised = Ballot.NONE;
  private Ballot acceptedIn = Ballot.NONE;
  private Cut accepted;
  private boolean knows;
  private final TreeMap<String, Long> lives = new TreeMap<>();

  /**
   * Recovers the state.
   *
   * @param stored the state as encoded by {@link #bytes}; null if nothing is stored
   * @throws MalformedMessageException if the stored state is malformed
   */
  public AcceptorState(byte[] stored) throws MalformedMessageException {
    if (stored != null) {
      knows = true;
      read(new FieldReader(stored));
    }
  }

  // ---- state ----

  /** Returns the highest promised ballot; {@link Ballot#NONE} if there is none. */
  public Ballot promised() {
    return promised;
  }

  /** Returns the ballot in which {@link #accepted} was accepted. */
  public Ballot acceptedIn() {
    return acceptedIn;
  }

  /** Returns the last accepted cut; null if there is none. */
  public Cut accepted() {
    return accepted;
  }

  /**
   * Returns whether the state is known. After a start with nothing stored it is not, until the
   * other gateways have answered.
   */
  public boolean knows() {
    return knows;
  }

  /** Marks the state as known, once enough other gateways have answered. */
  public void markRecovered() {
    knows = true;
  }

  /** Returns the newest known incarnations of other gateways, by name; a live view. */
  public Map<String, Long> lives() {
    return lives;
  }

  // ---- changes ----

  /**
   * Records that a process of a gateway has started. Responses of the gateway's earlier processes
   * are not counted together with responses from now on.
   *
   * @param gateway the gateway's name
   * @param incarnation the incarnation of the process
   */
  public void started(String gateway, long incarnation) {
    lives.merge(gateway, incarnation, Math::max);
  }

  /**
   * Promises a ballot, unless a higher one was promised.
   *
   * @return whether the ballot is promised
   */
  public boolean promise(Ballot ballot) {
    Invariant.holds(promised.compareTo(acceptedIn) >= 0, () -> "promised less than was accepted");
    if (ballot.compareTo(promised) < 0) {
      return false;
    }
    raise(ballot);
    return true;
  }

  /** Sets the promised ballot, which must not be lower than the previous one. */
  void raise(Ballot ballot) {
    Ballot previous = promised;
    promised = ballot;
    Invariant.holds(
        promised.compareTo(previous) >= 0,
        () -> "a promise fell from " + previous + " to " + ballot);
  }

  /**
   * Accepts a cut in a ballot, unless a higher ballot was promised.
   *
   * @return whether the cut is accepted
   */
  public boolean accept(Ballot ballot, Cut cut) {
    if (ballot.compareTo(promised) < 0) {
      return false;
    }
    raise(ballot);
    Invariant.holds(
        !ballot.equals(acceptedIn)
            || accepted == null
            || accepted.slot() != cut.slot()
            || accepted.equals(cut),
        () -> "two values in one ballot for step " + cut.slot());
    acceptedIn = ballot;
    accepted = cut;
    return true;
  }

  /**
   * Adopts the ballot that another gateway promised if it is higher, and the cut that it accepted
   * if that is for a later slot or was accepted in a higher ballot.
   *
   * @param otherPromised the ballot that the other gateway promised
   * @param otherAcceptedIn the ballot in which it accepted {@code otherAccepted}
   * @param otherAccepted the cut that it accepted last; null if there is none
   */
  public void merge(Ballot otherPromised, Ballot otherAcceptedIn, Cut otherAccepted) {
    if (otherPromised.compareTo(promised) > 0) {
      raise(otherPromised);
    }
    if (otherAccepted != null && isLater(otherAccepted, otherAcceptedIn)) {
      acceptedIn = otherAcceptedIn;
      accepted = otherAccepted;
    }
  }

  /** Returns whether a cut was accepted later than the one that is accepted here. */
  private boolean isLater(Cut cut, Ballot ballot) {
    return accepted == null
        || cut.slot() > accepted.slot()
        || (cut.slot() == accepted.slot() && ballot.compareTo(acceptedIn) > 0);
  }

  // ---- encoding ----

  /** Returns the state encoded for storage; never empty. */
  public byte[] bytes() {
    FieldWriter out =
        new FieldWriter()
            .number(PROMISED_ROUND, promised.round())
            .text(PROMISED_PROPOSER, promised.proposer())
            .number(ACCEPTED_ROUND, acceptedIn.round())
            .text(ACCEPTED_PROPOSER, acceptedIn.proposer());
    if (accepted != null) {
      out.within(ACCEPTED_CUT, EntryCodec.cut(accepted));
    }
    lives.forEach(
        (gateway, incarnation) ->
            out.within(
                INCARNATION,
                new FieldWriter()
                    .text(INCARNATION_GATEWAY, gateway)
                    .fixed(INCARNATION_NUMBER, incarnation)));
    return out.number(PRESENT, 1).done();
  }

  private void read(FieldReader in) throws MalformedMessageException {
    long promisedRound = 0;
    String promisedProposer = "";
    long acceptedRound = 0;
    String acceptedProposer = "";
    while (in.next()) {
      switch (in.field()) {
        case PROMISED_ROUND -> promisedRound = in.number();
        case PROMISED_PROPOSER -> promisedProposer = in.text(MAX_NAME_BYTES);
        case ACCEPTED_ROUND -> acceptedRound = in.number();
        case ACCEPTED_PROPOSER -> acceptedProposer = in.text(MAX_NAME_BYTES);
        case ACCEPTED_CUT -> accepted = EntryCodec.cut(in.within());
        case INCARNATION -> readIncarnation(in.within());
        default -> {}
      }
    }
    promised = new Ballot(promisedRound, promisedProposer);
    acceptedIn = new Ballot(acceptedRound, acceptedProposer);
  }

  private void readIncarnation(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    while (in.next()) {
      switch (in.field()) {
        case INCARNATION_GATEWAY -> gateway = in.text(MAX_NAME_BYTES);
        case INCARNATION_NUMBER -> incarnation = in.fixed();
        default -> {}
      }
    }
    started(gateway, incarnation);
  }
}
