/**
 * Options that the commands which ask daemons have in common.
 */
import { Option } from 'clipanion';

/** @returns the required option `--operators` */
export const operatorsOption = () =>
  Option.String('--operators', {
    required: true,
    description: "Addresses of daemons' operators' interfaces, with commas between",
  });

/** @returns the option `--token`, which an environment variable can stand in for */
export const tokenOption = () =>
  Option.String('--token', '', {
    env: 'TOUCANDYKE_OPERATOR_TOKEN',
    description: "The operators' token",
  });
