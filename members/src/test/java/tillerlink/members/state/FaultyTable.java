package tillerlink.members.state;

import tillerlink.members.config.Periods;
import tillerlink.messages.members.Card;
import tillerlink.messages.members.Rumour;
import tillerlink.messages.members.Standing;

/** Tables with a fault planted in them, each of which has to be caught. */
public final class FaultyTable extends Table {
  /** What is wrong. */
  public enum What {
    BELIEVES_LOWER,
    COMES_BACK_AS_IT_WENT,
    GIVEN_UP_ON_HEARSAY,
    FORGETS_AT_ONCE
  }

  private final What what;
  private final Changes changes;

  public FaultyTable(String self, Periods periods, Changes changes, What what) {
    super(self, periods, changes);
    this.what = what;
    this.changes = changes;
  }

  @Override
  public Outcome tell(Rumour rumour, long now, boolean doubtful) {
    Entry entry = get(rumour.name());
    if (entry == null) {
      return super.tell(rumour, now, doubtful);
    }
    int order = rumour.card().compare(entry.card());
    switch (what) {
      case BELIEVES_LOWER -> {
        if (order < 0) {
          entry.become(rumour.standing(), rumour.card(), null, now);
        }
      }
      case COMES_BACK_AS_IT_WENT -> {
        if (order == 0
            && rumour.standing() == Standing.ALIVE
            && entry.standing() == Standing.GONE) {
          entry.become(Standing.ALIVE, rumour.card(), null, now);
        }
      }
      case GIVEN_UP_ON_HEARSAY -> {
        if (order == 0
            && rumour.standing() == Standing.GONE
            && entry.standing() == Standing.ALIVE) {
          suspect(entry, rumour.by(), now, now);
        }
      }
      default -> {
        // another fault
      }
    }
    return super.tell(rumour, now, doubtful);
  }

  @Override
  public Entry expire(long now) {
    Entry gone = super.expire(now);
    if (gone != null && what == What.FORGETS_AT_ONCE) {
      remove(gone);
      changes.changed(gone, gone.reach(), Card.NONE);
    }
    return gone;
  }
}
