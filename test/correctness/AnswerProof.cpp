// Tests which answers prove that a request has not run.
#define BOOST_TEST_MODULE AnswerProof
#include <boost/test/unit_test.hpp>

#include "http/ResponseMatch.h"
#include "relay/AnswerHead.h"
#include "relay/AnswerProof.h"

using namespace cranberry;

namespace {

AnswerHead rejection(int status = 503)
{
    AnswerHead head;
    head.status = status;
    head.isNotExecuted = true;
    head.namesRequest = true;
    return head;
}

AnswerHead misdirection()
{
    AnswerHead head;
    head.status = 421;
    head.isMisdirected = true;
    head.namesRequest = true;
    return head;
}

/// Whether @p head proves @p proof as the first or a later response, with or without an id.
void checkBelieved(const AnswerHead &head, AnswerProof proof)
{
    AnswerHead unnamed = head;
    unnamed.namesRequest = false;
    BOOST_TEST((proofOf(head, ResponseMatch::Own, true) == proof));
    BOOST_TEST((proofOf(head, ResponseMatch::Own, false) == proof));
    BOOST_TEST((proofOf(unnamed, ResponseMatch::Own, true) == proof));
    BOOST_TEST((proofOf(unnamed, ResponseMatch::Own, false) == AnswerProof::None));
    for (const ResponseMatch match : {ResponseMatch::Foreign, ResponseMatch::Uncertain}) {
        BOOST_TEST((proofOf(head, match, true) == AnswerProof::None));
        BOOST_TEST((proofOf(unnamed, match, false) == AnswerProof::None));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(OwnRejectionsAreBelieved)
{
    for (const int status : {400, 429, 503})
        checkBelieved(rejection(status), AnswerProof::NotExecuted);
    checkBelieved(misdirection(), AnswerProof::Misdirected);
}

// Guards against a promise that a request has not run, made of a status alone.
BOOST_AUTO_TEST_CASE(OtherAnswersProveNothing)
{
    for (const int status : {200, 400, 408, 429, 500, 503, 504}) {
        AnswerHead head = rejection(status);
        head.isNotExecuted = false;
        checkBelieved(head, AnswerProof::None);
    }
}

// Guards against a promise that a request has not run, made of a success.
BOOST_AUTO_TEST_CASE(SuccessIsNoRejection)
{
    checkBelieved(rejection(200), AnswerProof::None);
}

// The seal signs the answer and says nothing about whether the request ran.
BOOST_AUTO_TEST_CASE(SealedRejectionsAreBelieved)
{
    AnswerHead head = rejection();
    head.isSealed = true;
    checkBelieved(head, AnswerProof::NotExecuted);
}
