package org.cuminwell.app;

/** Is a subcommand that runs a long-lived process. Confined to the start-up thread. */
interface ProcessCommand extends Command {

  /**
   * Returns the settings after checking every one of them.
   *
   * @throws SettingException if one is wrong
   */
  Object settings() throws SettingException;
}
