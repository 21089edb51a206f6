package tillerlink.model;

/** What an engine reports of an attempt in flight. */
public enum AttemptProgress {
  /** A share of it is done. */
  PROGRESS,
  /** It has too little memory. */
  SPILLS,
  /** The engine has parked it. */
  WAITS
}
