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
 * The acceptor of one gateway. Whatever it promises or accepts is persisted before the response is
 * sent.
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

  private static AcceptorState recover(Store store) {
    try {
      return new AcceptorState(store.foundVoting());
    } catch (MalformedMessageException e) {
      return lost();
    }
  }

  /** State that can't be read counts as lost. */
  private static AcceptorState lost() {
    try {
      return new AcceptorState(null);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  AcceptorState state() {
    return state;
  }

  boolean votes() {
    return votes;
  }

  void startVoting() {
    votes = true;
  }

  /**
   * Persists the state as it is now.
   *
   * @param then called once it is durable
   */
  void persist(Runnable then) {
    store.voting(state.bytes(), then);
  }

  // ---- messages ----

  /** A new process of a gateway started; responses of its earlier ones no longer count. */
  void onStarted(String gateway, long started) {
    state.started(gateway, started);
  }

  /** Answers a process that has just started, once it is persisted that the process is there. */
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

  void onPrepare(String from, Prepare prepare) {
    if (isNextSlot(from, prepare.slot()) && votes) {
      state.promise(prepare.ballot());
      persist(() -> transport.send(from, promise(prepare.ballot(), prepare.slot())));
    }
  }

  void onAccept(String from, Accept accept) {
    Cut cut = accept.cut();
    if (isNextSlot(from, cut.slot()) && votes && mayAccept(cut)) {
      state.accept(accept.ballot(), cut);
      persist(() -> transport.send(from, accepted(accept.ballot(), cut.slot())));
    }
  }

  /** Whether a slot is the next to decide on; otherwise one side is sent what it lacks. */
  private boolean isNextSlot(String from, long slot) {
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
   * Whether a cut may be accepted: it comes next, and all its events are held here, so that a
   * majority holds the events of a decided cut.
   */
  boolean mayAccept(Cut cut) {
    return journal.applied() == journal.decided() && journal.isHeld(cut) && journal.isNext(cut);
  }

  // ---- responses ----

  Promise promise(Ballot ballot, long slot) {
    return new Promise(
        ballot,
        slot,
        state.promised(),
        state.acceptedIn(),
        state.accepted(),
        incarnation,
        voterLives());
  }

  Accepted accepted(Ballot ballot, long slot) {
    return new Accepted(ballot, slot, state.promised(), incarnation, voterLives());
  }

  private List<Life> voterLives() {
    List<Life> lives = new ArrayList<>();
    for (String voter : journal.voters()) {
      Long life = state.lives().get(voter);
      if (life != null) {
        lives.add(new Life(voter, life));
      }
    }
    return lives;
  }
}
