package tillerlink.model;

/** The kind of progress message that an engine sends for an attempt in flight. */
public enum AttemptProgress {
  /** A share of the attempt is completed. */
  PROGRESS,
  /** The attempt has too little memory and spills to disk. */
  SPILLS,
  /** The engine has suspended the attempt. */
  WAITS
}
