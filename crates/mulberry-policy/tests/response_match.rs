//! Which responses are certain to belong to the request after which they arrive.

use mulberry_policy::response_match::RepeatedId;
use mulberry_policy::response_match::ResponseMatch;

struct Case {
    id: RepeatedId,
    is_kept: bool,
    is_certain: bool,
    is_copy_recognized: bool,
}

const fn case(id: RepeatedId, is_kept: bool, is_certain: bool, is_copy_recognized: bool) -> Case {
    Case { id, is_kept, is_certain, is_copy_recognized }
}

const CASES: &[Case] = &[
    case(RepeatedId::Same, false, true, true),
    case(RepeatedId::Same, true, true, true),
    case(RepeatedId::Other, false, false, false),
    case(RepeatedId::Other, true, false, false),
    case(RepeatedId::Missing, false, true, false),
    case(RepeatedId::Missing, true, false, false),
];

/// Guards against REFUSED of issue 37: what can't be tied to the request says nothing of it.
#[test]
fn response_belongs_to_the_request_by_its_id_or_as_the_only_one() {
    for case in CASES {
        let matched = ResponseMatch { id: case.id, is_kept: case.is_kept };
        assert_eq!(matched.is_certain(), case.is_certain, "{matched:?}");
        assert_eq!(matched.is_copy_recognized(), case.is_copy_recognized, "{matched:?}");
    }
}
