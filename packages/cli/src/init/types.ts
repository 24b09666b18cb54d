/**
 * Interface between the interview and the terminal.
 */
import type { AnswerValue, Question, ScopeAnswers } from '@wisteriavalve/questionnaire'

/** Answers of an interview in progress. */
export type Draft = Record<string, unknown>

export type Choice<T extends string> = { name: string, value: T }

export type Prompter = {
  showMessage: (text: string) => void
  /** Repeats the question until the answer is valid. */
  ask: (question: Question, scope: ScopeAnswers, proposed: AnswerValue | undefined) => Promise<AnswerValue>
  confirm: (message: string, proposed: boolean) => Promise<boolean>
  choose: <T extends string>(message: string, choices: readonly Choice<T>[]) => Promise<T>
}
