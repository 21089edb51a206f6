package tillerlink.channels.consensus;

import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.epoch.AcceptorState;
import tillerlink.channels.journal.Journal;
import tillerlink.channels.recovery.Store;
import tillerlink.channels.sync.ChannelTransport;
import tillerlink.channels.sync.SyncServer;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.ChannelsMessage.Accept;
import tillerlink.messages.channels.ChannelsMessage.Accepted;
import tillerlink.messages.channels.ChannelsMessage.Answer;
import tillerlink.messages.channels.ChannelsMessage.Ask;
import tillerlink.messages.channels.ChannelsMessage.CutsWanted;
import tillerlink.messages.channels.ChannelsMessage.Life;
import tillerlink.messages.channels.ChannelsMessage.Prepare;
import tillerlink.messages.channels.ChannelsMessage.Promise;
import tillerlink.messages.channels.Cut;

/**
 * The acceptor of one gateway. It persists each promise and acceptance before it sends the
 * response, so that a restart does not revoke what others were sent.
 */
final class AcceptorRole {
  private final long incarnation;
  private final Journal journal;
  private final Store store;
  private final ChannelTransport transport;
  private final SyncServer server;
  private final AcceptorState state;
  private boolean votes;

  AcceptorRole(ConsensusContext context) {
    incarnation = context.incarnation();
    journal = context.journal();
    store = context.store();
    transport = context.transport();
    server = context.server();
    state = recover(store);
  }

  /** Returns the state recovered from the store. Malformed state counts as lost. */
  private static AcceptorState recover(Store store) {
    try {
      return new AcceptorState(store.foundVoting());
    } catch (MalformedMessageException e) {
      return lostState();
    }
  }

  /** Returns the state that an acceptor has after the loss of its disk. */
  private static AcceptorState lostState() {
    try {
      return new AcceptorState(null);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns what this acceptor has promised and accepted. */
  AcceptorState state() {
    return state;
  }

  /** Returns whether this acceptor responds to prepare and accept messages. */
  boolean votes() {
    return votes;
  }

  /** Makes this acceptor vote, once it has rejoined. */
  void startVoting() {
    votes = true;
  }

  /**
   * Persists the current state.
   *
   * @param onDurable called once the state is durable
   */
  void persist(Runnable onDurable) {
    store.voting(state.bytes(), onDurable);
  }

  // ---- messages ----

  /**
   * Records that a new process of a gateway has started. Responses of the gateway's earlier
   * processes no longer count.
   *
   * @param gateway the gateway's name
   * @param incarnation the incarnation of the new process
   */
  void onStarted(String gateway, long incarnation) {
    state.started(gateway, incarnation);
  }

  /**
   * Answers the rejoin request of a process that has just started. The answer is sent once the new
   * incarnation is persisted.
   */
  void answer(String from, Ask ask) {
    persist(
        () ->
            transport.send(
                from,
                new Answer(
                    ask.incarnation(),
                    state.knows(),
                    journal.decided(),
                    state.promised(),
                    state.acceptedIn(),
                    state.accepted())));
  }

  /** Promises the ballot of a prepare message if this acceptor votes and the slot is next. */
  void onPrepare(String from, Prepare prepare) {
    if (checkNextSlot(from, prepare.slot()) && votes) {
      state.promise(prepare.ballot());
      persist(() -> transport.send(from, promise(prepare.ballot(), prepare.slot())));
    }
  }

  /** Accepts the cut of an accept message if this acceptor votes and the cut may be accepted. */
  void onAccept(String from, Accept accept) {
    Cut cut = accept.cut();
    if (checkNextSlot(from, cut.slot()) && votes && mayAccept(cut)) {
      state.accept(accept.ballot(), cut);
      persist(() -> transport.send(from, accepted(accept.ballot(), cut.slot())));
    }
  }

  /**
   * Returns whether a slot is the next to decide on. If not, sends the proposer the cuts that it
   * lacks, or requests from it the cuts that are missing here.
   */
  private boolean checkNextSlot(String from, long slot) {
    if (journal.decided() >= slot) {
      server.sendCuts(from, slot);
      return false;
    } else if (journal.decided() < slot - 1) {
      transport.send(from, new CutsWanted(journal.decided() + 1));
      return false;
    }
    return true;
  }

  /**
   * Returns whether a cut may be accepted: all decided cuts are applied, the cut comes next, and
   * all its events are held here. The last condition ensures that a majority holds the events of
   * every decided cut.
   */
  boolean mayAccept(Cut cut) {
    return journal.applied() == journal.decided() && journal.isHeld(cut) && journal.isNext(cut);
  }

  // ---- responses ----

  /** Returns the response to a prepare message, from the current state. */
  Promise promise(Ballot ballot, long slot) {
    return new Promise(
        ballot,
        slot,
        state.promised(),
        state.acceptedIn(),
        state.accepted(),
        incarnation,
        voterIncarnations());
  }

  /** Returns the response to an accept message, from the current state. */
  Accepted accepted(Ballot ballot, long slot) {
    return new Accepted(ballot, slot, state.promised(), incarnation, voterIncarnations());
  }

  /** Returns the newest known incarnations of the voters. */
  private List<Life> voterIncarnations() {
    List<Life> lives = new ArrayList<>();
    for (String voter : journal.voters()) {
      Long newest = state.lives().get(voter);
      if (newest != null) {
        lives.add(new Life(voter, newest));
      }
    }
    return lives;
  }
}
